// The operator file of an installation with AJP callers. Nothing on kingston-match names it: all of it is off there.
// See docs/operate/ajp.md and idempotency.md; `cleatpulley check-config --operator deploy/operator.jsonnet` shows what it comes to.
local ajp = import 'templates/ajp.libsonnet';
local results = import 'templates/results.libsonnet';

{
  ajp: ajp.front(['127.0.0.1:8009'], ['find-race', 'lobby-view', 'set-prefs', 'claim-seat']) + {
    secret: null,
    timeouts_ms: { first_packet: 2000, body: 2000, idle: 30000 },
    defaults: { work_ms: 300, memory_kb: 30, rank: 0.5, caller: 0 },
    classes: { 'claim-seat': { work_ms: 180 } },
  },
  store: { protocol: 'http' },
  results: results.kept('/var/tmp/cleatpulley-n1', ['claim-seat']) + { frame_field: 'once' },
}
