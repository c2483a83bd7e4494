"""Network code of the gateway: sockets, timers and configuration around the decision module."""
