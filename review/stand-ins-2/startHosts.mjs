/** Starts entry hosts as the deploy file says, each on a loopback address of its own. */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

const START_LIMIT_MS = 20_000;

function readCommand() {
  const text = readFileSync('deploy/system.toml', 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

async function findFreePorts(host, count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createServer().once('error', reject);
          server.listen(0, host, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

function isReady(address) {
  return new Promise((resolve) => {
    const call = get(`http://${address}/v1/ready`, { agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    call.setTimeout(500, () => call.destroy());
    call.on('error', () => resolve(false));
  });
}

/** `extra` holds further lines of the settings file. */
export default async function startHosts({ zones, store, extra = [] }) {
  const folder = mkdtempSync(path.join(tmpdir(), 'rattanreel-review-'));
  const [program, ...words] = readCommand();
  const log = createWriteStream(path.join(folder, 'hosts.log'));
  const net = 1 + Math.floor(Math.random() * 250);
  const hosts = await Promise.all(
    zones.map(async (zone, index) => {
      const name = `edge-${zone}-${index + 1}`;
      const ip = `127.${net}.${index + 1}.1`;
      const [front, ready, control, metrics] = await findFreePorts(ip, 4);
      return { name, zone, ip, front, ready, control, metrics };
    }),
  );
  const seeds = hosts.slice(0, 3).map(({ ip, control }) => `${ip}:${control}`);

  /** The last process of each host, and how it ended. */
  const processes = new Map();
  const getFile = (host) => path.join(folder, `${host.name}.conf`);

  function listSettings(host) {
    return [
      `node-name=${host.name}`,
      'role=entry-host',
      'machine-class=edge',
      'serves=edge,control',
      `ip=${host.ip}`,
      `zone=${host.zone}`,
      'region=home',
      ...[...new Set(zones)].map((zone) => `zones.${zone}=home`),
      `listen.front=${host.ip}:${host.front}`,
      `listen.ready=${host.ip}:${host.ready}`,
      `listen.control=${host.ip}:${host.control}`,
      `metrics-port=${host.metrics}`,
      `seed-nodes=${seeds.join(',')}`,
      'limits.cpu-share=0.675',
      'limits.cores=1',
      'limits.memory-mb=200',
      'limits.max-fds=4100',
      'limits.link-mbps=1000.0',
      'discovery=platform',
      'entry=vip',
      'beat-interval-ms=1200',
      'bounds.stable-window-ms=3000',
      'bounds.drain-ms=2000',
      'bounds.grace-s=8',
      'bounds.config-apply-ms=2000',
      'bounds.budget-ratio=0.2',
      'bounds.budget-window-s=10',
      'bounds.budget-slack=52',
      'bounds.quota-window-s=8',
      'bounds.quota-over=0.1',
      'bounds.quota-slack=110000',
      'bounds.expose-share=0.1',
      'bounds.expose-slack=50',
      'bounds.rollback-ms=5000',
      'bounds.cold-over=1.5',
      'bounds.cold-slack=5',
      'bounds.evac-ms=5000',
      `provider.addr=${store.address}`,
      'provider.form=objects',
      'provider.writes-per-s=400',
      'provider.reads-per-s=2000',
      'provider.history-s=20',
      ...extra,
    ];
  }

  // Also if the case itself fails.
  process.once('exit', () => processes.forEach(({ child }) => child.kill('SIGKILL')));

  function start(host, isBootstrap = false) {
    const lines = [...listSettings(host), `bootstrap=${isBootstrap}`];
    writeFileSync(getFile(host), `${lines.join('\n')}\n`);
    const child = spawn(program, words, {
      env: { PATH: process.env.PATH, HOME: folder, RATTANREEL_NODE_FILE: getFile(host) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    processes.set(host.name, { child, ended });
  }

  async function areReady(until) {
    const ready = await Promise.all(hosts.map(({ ip, ready: port }) => isReady(`${ip}:${port}`)));
    if (ready.every(Boolean) || Date.now() > until) {
      return ready.every(Boolean);
    }
    await sleep(100);
    return areReady(until);
  }

  return {
    hosts,
    folder,
    start,
    getChild: ({ name }) => processes.get(name)?.child,
    isReady: ({ ip, ready }) => isReady(`${ip}:${ready}`),
    /** Starts all hosts and waits until each says that it is ready. */
    startAll() {
      hosts.forEach((host) => start(host, true));
      return areReady(Date.now() + START_LIMIT_MS);
    },
    async stopAll() {
      await Promise.all(
        [...processes.values()].map(async ({ child, ended }) => {
          if (child.exitCode === null && child.signalCode === null) {
            child.kill('SIGKILL');
            await ended;
          }
        }),
      );
      log.end();
      if (process.env.KEEP_LOGS === undefined) {
        rmSync(folder, { recursive: true, force: true });
      }
    },
  };
}
