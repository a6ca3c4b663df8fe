"""A seeded judge of overload: one loud client beside steady ones, judged by the rules on lost and late calls.

`python -m harrieryoke.lab.judge SEED...` plays the scenario of each seed and prints its verdict.
"""
