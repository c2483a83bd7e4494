"""Consensus among the replicas of one group: a pure state machine (`core`) and its log on disk (`disk`).

After "In Search of an Understandable Consensus Algorithm" (Ongaro, Ousterhout, 2014) and Ongaro's thesis,
with pre-vote (9.6), check-quorum (6.2), read index (6.4), leadership transfer (3.10) and members changed one
at a time (4.1) through learners (4.2.1).
"""
