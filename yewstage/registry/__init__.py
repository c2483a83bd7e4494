"""The list service: servers' records with revisions, watches, and leases for duties that one process
holds."""
