"""Budgets of tokens over the fleet: a tree of ceilings, spent through escrow (docs/budgets.md)."""
