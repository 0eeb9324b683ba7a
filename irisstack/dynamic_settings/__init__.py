"""Dynamic settings: the platform's settings followed from an etcd cluster while the node runs.

`etcd` translates bytes to messages and back, `decisions` decides what to ask of which member and what to
take, `snapshot` keeps the last good state in the lasting folder. The sockets are in
`irisstack.node.settings_watch`.
"""
