"""The list service: server registrations with revisions, watches on the list, and leases with fencing
tokens."""
