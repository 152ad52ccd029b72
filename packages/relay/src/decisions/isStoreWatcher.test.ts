import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { FleetRole } from '../types';
import isStoreWatcher from './isStoreWatcher';

const small: FleetRole = {
  isLarge: false,
  isGranting: true,
  isStoreSubstitute: false,
  ownHosts: 1,
  fleetHosts: 6,
};
const large: FleetRole = { ...small, isLarge: true, isGranting: false, fleetHosts: 88 };

interface Case {
  readonly name: string;
  readonly role: FleetRole | undefined;
  readonly hasClusterState?: boolean;
  readonly age?: number;
  readonly isWatcher: boolean;
}

const cases: readonly Case[] = [
  { name: 'every host of a small fleet', role: small, age: 0, isWatcher: true },
  { name: 'no ordinary host of a large fleet', role: large, isWatcher: false },
  {
    name: 'a host that schedules its failure domain, or is on its own',
    role: { ...large, isGranting: true },
    isWatcher: true,
  },
  {
    name: 'the next candidate of a scheduler that cannot reach the store',
    role: { ...large, isStoreSubstitute: true },
    isWatcher: true,
  },
  {
    name: 'not yet a host that waits for state from its peers',
    role: undefined,
    hasClusterState: false,
    age: 1_000,
    isWatcher: false,
  },
  {
    name: 'a host that receives no state within a time',
    role: undefined,
    hasClusterState: false,
    age: 3_001,
    isWatcher: true,
  },
  {
    name: 'a host whose scheduler sends no state within a time',
    role: large,
    hasClusterState: false,
    age: 3_001,
    isWatcher: true,
  },
];

describe('isStoreWatcher', () => {
  cases.forEach(({ name, role, hasClusterState = true, age = 10_000, isWatcher }) => {
    it(`selects ${name}: ${isWatcher}`, () => {
      expect(isStoreWatcher({ role, hasClusterState, age })).toEqual(isWatcher);
    });
  });
});
