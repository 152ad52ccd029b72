import { z } from 'zod';
import type { DeploymentSettings, EntryHostSettings } from '../types';

const text = z.string().min(1);
const number = z.number().positive();
const version = { versions: z.array(text).min(1), currentVersion: text };

const modelPool = z.looseObject({ kind: z.literal('model'), id: text, model: text, ...version });

const servicePool = z.looseObject({
  kind: z.literal('service'),
  id: text,
  service: text,
  routes: z.array(
    z.looseObject({
      method: text,
      pathPrefix: text,
      repeatable: z.boolean(),
      tier: text.optional(),
    }),
  ),
  ...version,
});

const backendServer = z.looseObject({
  id: text,
  pool: text,
  failureDomain: text,
  address: text,
  hardware: text,
  version: text,
  checksFencing: z.boolean(),
  memoryTokens: number,
  maximumStreams: number,
});

const deploymentSettings: z.ZodType<DeploymentSettings> = z.looseObject({
  kind: z.literal('deploymentSettings'),
  formatVersion: z.literal(1),
  deployment: text,
  failureDomains: z.array(z.looseObject({ id: text, region: text })).min(1),
  entryHosts: z
    .array(z.looseObject({ id: text, failureDomain: text, callerAddress: text, peerAddress: text }))
    .min(1),
  tiers: z
    .array(
      z.looseObject({
        id: text,
        firstTokenMilliseconds: number,
        betweenTokensMilliseconds: number,
        defaultDeadlineMilliseconds: number,
      }),
    )
    .min(1),
  customers: z.array(
    z.looseObject({ id: text, weight: number, tier: text, apiKeyHashes: z.array(text) }),
  ),
  pools: z.array(z.discriminatedUnion('kind', [modelPool, servicePool])),
  backendServers: z.array(backendServer),
  administrators: z.array(
    z.looseObject({ name: text, role: z.enum(['viewer', 'operator']), tokenHash: text }),
  ),
  drained: z.looseObject({
    failureDomains: z.array(text),
    entryHosts: z.array(text),
    backendServers: z.array(text),
  }),
});

const entryHostSettings: z.ZodType<EntryHostSettings> = z.looseObject({
  kind: z.literal('entryHostSettings'),
  entryHost: text,
  failureDomain: text,
  callerAddress: text,
  peerAddress: text,
  platformUrl: text,
  seedPeers: z.array(text),
  peerSecurity: z.discriminatedUnion('kind', [
    z.looseObject({ kind: z.literal('plainLoopback') }),
    z.looseObject({
      kind: z.literal('mutualTls'),
      certificateFile: text,
      privateKeyFile: text,
      authorityFile: text,
    }),
  ]),
  logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']),
  memoryMegabytes: number.optional(),
  maximumDescriptors: number.optional(),
});

/**
 * Schemas of generated settings. Unknown fields are kept, so that a newer host's settings pass
 * unchanged through an older one.
 */
const settingsSchemas = { deploymentSettings, entryHostSettings };

export default settingsSchemas;
