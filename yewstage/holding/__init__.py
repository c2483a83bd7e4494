"""The replicated state service ("the holding"): Raft groups, each replicating one store.

It runs as a process of its own, `python -m yewstage.holding`; `run` does not start it.
"""
