// Twenty instances on one host; see docs/operate/fleet.md. Nothing on kingston-match names it.
local fleet = import 'templates/fleet.libsonnet';

{
  fleet: fleet.fleet('/var/lib/cleatpulley-fleet', 20, 2, 7000, '/etc/cleatpulley') + {
    batch: 4,
    minimum: 17,
    releases: { '1': { program: '/usr/local/bin/cleatpulley' } },
    host: { cores: 24, cores_each: 1, rate_each: 150, start_ms: 500, cold_from: 0.25, warm_ms: 4000, drain_ms: 3000 },
    demand: [[0, 1800], [600, 2400]],
  },
}
