"""Messages between daemons over websockets and CBOR."""
