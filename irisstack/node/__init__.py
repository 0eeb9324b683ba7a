"""The delivery node: real sockets around the decision module, in the order of a request's stages."""
