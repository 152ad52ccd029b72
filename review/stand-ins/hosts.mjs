/* eslint-disable no-await-in-loop -- a script of steps in time */
/** Starts entry hosts with the command of deploy/system.toml, each as a process of its own. */
import { get } from 'node:http';
import { setTimeout } from 'node:timers';
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import path from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;

export const sleep = (span) =>
  new Promise((resolve) => {
    setTimeout(resolve, span);
  });

/** Returns ports of a loopback address that are free now. */
export async function findFreePorts(count, address = '127.0.0.1') {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = createServer();
          server.listen(0, address, () => resolve(server));
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

/** Returns the words of the command with which the deploy file starts the role. */
function readCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"$/m.exec(text)[1].split(' ');
}

/** Starts one entry host; the settings are those of DEPLOY.md for a small deployment. */
export async function startHost({
  folder,
  name,
  zone = 'a',
  ip = '127.0.0.1',
  store,
  seeds = [],
  ports,
  bootstrap = true,
}) {
  const [front, ready, control, metrics] = ports ?? (await findFreePorts(4, ip));
  const settings = path.join(folder, `${name}.conf`);
  const own = `${ip}:${control}`;
  writeFileSync(
    settings,
    [
      `node-name=${name}`,
      'role=entry-host',
      'machine-class=edge',
      'serves=edge,control',
      `ip=${ip}`,
      `zone=${zone}`,
      'region=r',
      'zones.a=r',
      'zones.b=r',
      `listen.front=${ip}:${front}`,
      `listen.ready=${ip}:${ready}`,
      `listen.control=${own}`,
      `metrics-port=${metrics}`,
      `seed-nodes=${(seeds.length > 0 ? seeds : [own]).join(',')}`,
      `bootstrap=${bootstrap}`,
      'in-tolerance=false',
      'limits.cpu-share=0.675',
      'limits.cores=1',
      'limits.memory-mb=200',
      'limits.max-fds=4100',
      'limits.link-mbps=1000.0',
      'limits.disk-mb=0',
      'discovery=platform',
      'entry=vip',
      'beat-interval-ms=1200',
      'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota,rollout,places,platform',
      'fault-tolerance.machines=2',
      'fault-tolerance.zones=1',
      'bounds.stable-window-ms=3000',
      'bounds.drain-ms=2000',
      'bounds.grace-s=8',
      'bounds.lost-slack-ms=200',
      'bounds.config-apply-ms=2000',
      'bounds.budget-ratio=0.2',
      'bounds.budget-window-s=10',
      'bounds.budget-slack=52',
      'bounds.quota-window-s=8',
      'bounds.quota-over=0.1',
      'bounds.quota-slack=110000',
      'bounds.expose-share=0.1',
      'bounds.expose-slack=50',
      'bounds.cold-over=1.5',
      'bounds.cold-slack=5',
      'bounds.recover-s=12',
      `provider.addr=${store.address}`,
      'provider.form=objects',
      'provider.writes-per-s=400',
      'provider.reads-per-s=2000',
      'provider.history-s=20',
      'provider.value-bytes=1048576',
      '',
    ].join('\n'),
  );
  const [program, ...words] = readCommand();
  const child = spawn(program === 'node' ? process.execPath : program, words, {
    cwd: ROOT,
    env: { PATH: process.env.PATH, HOME: folder, LANG: 'C', RATTANREEL_NODE_FILE: settings },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = createWriteStream(path.join(folder, `${name}.log`), { flags: 'a' });
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  const host = {
    name,
    child,
    front,
    ip,
    control: own,
    ports: [front, ready, control, metrics],
    readyUrl: `http://${ip}:${ready}/v1/ready`,
    /** Exit code or signal, once the process has ended. */
    ended: undefined,
    kill: (signal) => child.kill(signal),
  };
  host.exited = new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      host.ended = signal ?? code;
      resolve(host.ended);
    });
  });
  return host;
}

/** Returns the status of the answer; 0 when there is none. */
export function getStatus(url) {
  return new Promise((resolve) => {
    get(url, (incoming) => {
      incoming.resume();
      resolve(incoming.statusCode);
    }).once('error', () => resolve(0));
  });
}

/** Waits until a host is ready; returns false when it is not in time, or has ended. */
export async function waitUntilReady(host) {
  const until = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < until && host.ended === undefined) {
    if ((await getStatus(host.readyUrl)) === 200) {
      return true;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return false;
}
