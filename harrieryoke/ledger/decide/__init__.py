"""What the ledger decides and remembers. No I/O, no clock; amounts are whole numbers, money is decimal."""
