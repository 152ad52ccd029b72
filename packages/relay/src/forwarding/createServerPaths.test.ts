import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createVirtualClock } from '@rattanreel/core';
import { silentLogger } from '@rattanreel/observability';
import type { Listening } from '../servers/types';
import createTestServer from '../testing/createTestServer';
import createServerPaths from './createServerPaths';

interface Case {
  readonly name: string;
  readonly direct: Listening;
  readonly byPeers: Listening;
  readonly listening: Listening;
  readonly isCut: boolean;
}

const cases: readonly Case[] = [
  {
    name: 'a server that only answers slowly',
    direct: 'accepting',
    byPeers: 'accepting',
    listening: 'accepting',
    isCut: false,
  },
  {
    name: 'a server that is silent to everyone',
    direct: 'unreachable',
    byPeers: 'unreachable',
    listening: 'unreachable',
    isCut: false,
  },
  {
    name: 'a server that has ended',
    direct: 'refused',
    byPeers: 'refused',
    listening: 'refused',
    isCut: false,
  },
  {
    name: 'a server that has ended, while no peer can tell',
    direct: 'refused',
    byPeers: 'unreachable',
    listening: 'refused',
    isCut: false,
  },
  {
    name: 'a path that hangs',
    direct: 'unreachable',
    byPeers: 'accepting',
    listening: 'unreachable',
    isCut: true,
  },
  {
    name: 'a path that refuses',
    direct: 'refused',
    byPeers: 'accepting',
    listening: 'unreachable',
    isCut: true,
  },
];

function createPaths(direct: () => Listening, byPeers: () => Listening) {
  const clock = createVirtualClock();
  const { listed: server } = createTestServer();
  const paths = createServerPaths({
    clock,
    logger: silentLogger,
    direct: { checkListening: (_, onChecked) => onChecked(direct()), renew: () => undefined },
    checkByPeers: (_, onChecked) => onChecked(byPeers()),
  });
  paths.retainServers([server]);
  return { clock, paths, server };
}

describe('createServerPaths', () => {
  cases.forEach(({ name, direct, byPeers, listening, isCut }) => {
    // Guards against taking a server in trouble for a cut path, or a cut path for a server that ended.
    it(`tells paths from servers: ${name}`, () => {
      const { paths, server } = createPaths(
        () => direct,
        () => byPeers,
      );
      const checked: Listening[] = [];
      paths.check(server, (result) => checked.push(result));
      expect(checked).toEqual([listening]);
      expect(paths.isCut(server)).toEqual(isCut);
      paths.recordSilent(server);
      expect(paths.isCut(server)).toEqual(isCut);
      paths.stop();
    });
  });

  // Guards against missing that a server has ended under a request which a peer has sent.
  it('trusts peers about a server whose path is cut', () => {
    let byPeers: Listening = 'accepting';
    const { paths, server } = createPaths(
      () => 'unreachable',
      () => byPeers,
    );
    paths.recordSilent(server);
    byPeers = 'refused';
    const checked: Listening[] = [];
    paths.check(server, (result) => checked.push(result));
    expect(checked).toEqual(['refused']);
    paths.stop();
  });

  it('uses a path again once it leads to its server', () => {
    let direct: Listening = 'unreachable';
    const { clock, paths, server } = createPaths(
      () => direct,
      () => 'accepting',
    );
    paths.recordSilent(server);
    clock.advance(2_500);
    expect(paths.isCut(server)).toEqual(true);
    direct = 'accepting';
    clock.advance(1_500);
    expect(paths.isCut(server)).toEqual(false);
    paths.stop();
  });
});
