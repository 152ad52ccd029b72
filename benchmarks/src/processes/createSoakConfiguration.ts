import soakLimits from './soakLimits';
import type { SoakBounds } from './types';

interface SoakConfigurationOptions {
  readonly version: number;
  /** Key of the customer without a quota. */
  readonly key: string;
  readonly extraRouteCount: number;
  readonly services: readonly string[];
  readonly bounds: SoakBounds;
}

/** Creates the store's object with the routes, services and customers of the soak. */
export default function createSoakConfiguration(options: SoakConfigurationOptions) {
  const { version, key, extraRouteCount, services, bounds } = options;
  const route = {
    host: 'soak.example',
    'timeout-ms': bounds.timeout,
    'slo-ms': 500,
    priority: 0,
  };
  const stream = { ...route, kind: 'stream', 'max-attempts': 2, resumable: true };
  const { customer, ratePerSecond, burst } = soakLimits.quota;
  const extra = Array.from({ length: extraRouteCount }, (_, index) => ({
    ...route,
    name: `extra-${index}`,
    'path-prefix': `/extra-${index}/`,
    kind: 'safe',
    service: 'orders',
  }));
  return {
    version,
    routes: [
      { ...route, name: 'order', 'path-prefix': '/order/', kind: 'unsafe', service: 'orders' },
      {
        ...route,
        name: 'look',
        'path-prefix': '/look/',
        kind: 'safe',
        service: 'orders',
        'max-attempts': 2,
      },
      { ...stream, name: 'draft', 'path-prefix': '/draft/', service: 'drafts' },
      {
        ...stream,
        name: 'chat',
        'path-prefix': '/chat/',
        service: 'chats',
        'timeout-ms': bounds.chatTimeout,
      },
      ...extra,
    ],
    services: services.map((name) => ({ name, 'max-conns': 100 })),
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 65_536,
      'header-timeout-ms': 3_000,
      'idle-timeout-ms': 15_000,
    },
    tenants: [
      { name: 'large', 'api-keys': [key] },
      { name: customer, 'api-keys': ['key-small'], 'rate-per-s': ratePerSecond, burst },
    ],
  };
}
