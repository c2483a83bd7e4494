"""A model of what gateways stand in: servers, counter, list, customers, faults. No sockets and no clock."""
