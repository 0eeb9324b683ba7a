"""Tests of irisstack; none of them needs the bench."""
