"""Consensus among the replicas of one group: a state machine without I/O (`core`) and its log on disk
(`disk`).

Implements Raft ("In Search of an Understandable Consensus Algorithm", Ongaro and Ousterhout, 2014) and parts
of Ongaro's thesis: pre-vote (9.6), check-quorum (6.2), read index (6.4), leadership transfer (3.10),
membership changes of one member at a time (4.1) and learners (4.2.1).
"""
