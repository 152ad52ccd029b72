/** A configuration like that of a small deployment. */
export const HOST_NAME = 'desk.example';

const route = { host: HOST_NAME, anonymous: true, priority: 2, 'max-attempts': 1 };

export const configuration = {
  version: 3,
  routes: [
    {
      ...route,
      name: 'order',
      'path-prefix': '/order/',
      kind: 'unsafe',
      service: 'order-book',
      'timeout-ms': 3_000,
      'slo-ms': 300,
    },
    {
      ...route,
      name: 'stock',
      'path-prefix': '/stock/',
      kind: 'safe',
      service: 'order-book',
      'timeout-ms': 3_000,
      'slo-ms': 300,
      'max-attempts': 2,
    },
    {
      ...route,
      name: 'chat',
      'path-prefix': '/chat/',
      kind: 'stream',
      service: 'drafts',
      'timeout-ms': 15_000,
      'slo-ms': 400,
      'gap-aim-ms': 300,
      sticky: true,
    },
  ],
  services: [
    { name: 'order-book', 'health-path': '/health', 'max-conns': 110 },
    { name: 'drafts', 'health-path': '/health', 'max-conns': 370 },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 5_000,
    'idle-timeout-ms': 20_000,
  },
};

/** Returns the entry that a sound engine writes to the store. */
export const createEntry = ({ service, port, zone, slots = 6, born }) => ({
  service,
  addr: `127.0.0.1:${port}`,
  zone,
  version: 'v1',
  slots,
  state: 'ready',
  'cold-left-ms': 0,
  'call-seq': 0,
  born,
});
