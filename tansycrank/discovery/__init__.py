"""Which nodes there are, as an outside list tells, late and at times wrong."""
