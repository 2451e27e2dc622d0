"""Control machines: they hold the configuration lease and store the configuration's versions."""
