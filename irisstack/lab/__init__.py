"""The laboratory: a described world, played in virtual time and on real sockets, audited and compared."""
