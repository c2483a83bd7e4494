"""What a request costs, compared between two revisions in one run. Not part of the tests: machines differ."""
