"""Capacity planning: slopes measured at several sizes, extrapolated to the size the operators plan for.

`targets` names that size, `result` is a measured slope, `fit` and `extrapolation` are pure arithmetic,
`registry` lists the expected slopes with their budgets, `page` writes the tables of `docs/CAPACITY.md`, and
`measurements` holds the measurements that one machine can make.
"""
