"""The measurements that one machine can make, by name."""

from irisstack.lab.capacity.measurements import module_memory
from irisstack.lab.capacity.measurements.measurement import Measurement

MEASUREMENTS: dict[str, Measurement] = {
    measurement.name: measurement for measurement in (*module_memory.MEASUREMENTS,)
}
