"""The ledger's state. No I/O and no clock; amounts are integers, money is decimal."""
