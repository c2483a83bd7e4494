"""yewstage: an API gateway that meters many customers' use of one back end. `Gateway` makes its decisions."""

__all__ = ["Gateway"]


def __getattr__(name: str) -> object:
    # Imported when it is asked for: the entry point has work to do before the modules that this one needs.
    if name != "Gateway":
        raise AttributeError(name)
    from yewstage.policy import Gateway

    return Gateway
