"""Dynamic settings: a running node follows the platform's settings in an etcd cluster.

`etcd` encodes and parses the gateway's messages, `decisions` decides which member to call and which revisions
to propose, `snapshot` saves the accepted settings in the state directory. The sockets are in
`irisstack.node.settings_watch`.
"""
