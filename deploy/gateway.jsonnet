// A gateway before two cells; see docs/operate/nginx.md. Nothing on kingston-match names it.
local at(name, port) = { [name + ':7001']: '127.0.0.1:%d' % port };

{
  gateway: {
    frames: ['127.0.0.1:7400'],
    frames_host: 'match.example.org',
    ajp: { listen: ['127.0.0.1:7409'] },
    routes: 'nginx/matchers.conf',
    classes: {
      'claim-seat': { deadline_ms: 3900, effect: true },
      'lobby-view': { deadline_ms: 6500, effect: false },
    },
    // Names are not looked up: this says where they lead.
    targets: {
      protocol: 'frames',
      names: at('m1.portmore.example.org', 7001) + at('m2.portmore.example.org', 7002)
             + at('m7.portmore.example.org', 7007) + at('m8.portmore.example.org', 7008)
             + at('m9.portmore.example.org', 7009),
    },
  },
}
