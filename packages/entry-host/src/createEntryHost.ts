import { serve } from '@hono/node-server';
import type { AddressInfo } from 'node:net';
import type { Server } from 'node:http';
import type { AcceptedConfiguration } from '@rattanreel/configuration';
import { createSystemClock, createSystemRandom, Debug, fail, ok } from '@rattanreel/core';
import type { Outcome } from '@rattanreel/core';
import { createEngineClient, createServiceClient } from '@rattanreel/dispatch';
import { createDecisionLog, createLogger, createMetrics } from '@rattanreel/observability';
import { createObjectStoreClient } from '@rattanreel/platform';
import { createPeerTransport } from '@rattanreel/transport';
import createCallerApplication from './callers/createCallerApplication';
import createOrderDispatcher from './callers/createOrderDispatcher';
import createAdmission from './createAdmission';
import createSettingsView from './createSettingsView';
import createStaticMembership from './createStaticMembership';
import createGrantClient from './scheduling/createGrantClient';
import createPeerRouter from './scheduling/createPeerRouter';
import createSchedulerDirectory from './scheduling/createSchedulerDirectory';
import type {
  CallerServices,
  EntryHost,
  EntryHostError,
  EntryHostOptions,
  PeerAnswer,
  PeerMessage,
  PeerQuestion,
  SettingsView,
} from './types';

const LARGEST_REQUESTS_IN_HAND = 4_096;
const UPDATE_INTERVAL_MS = 500;
const REPORT_INTERVAL_MS = 2_000;
