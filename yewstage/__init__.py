"""yewstage: an API gateway that meters many customers' use of one back end. `Gateway` makes its decisions."""

from yewstage.policy import Gateway

__all__ = ["Gateway"]
