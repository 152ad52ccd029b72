/* eslint-disable no-use-before-define -- a script of steps in time */
/**
 * Stand-in for the platform's metadata store: objects by kind and name, lists, held watches and
 * conditional writes, as PROTOCOL.md says. It keeps its whole history.
 */
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { createServer } from 'node:http';

const PAGE_SIZE = 500;
export default async function createStore() {
  const kinds = new Map();
  const events = [];
  const polls = new Set();
  let revision = 10;

  const getKind = (kind) => {
    if (!kinds.has(kind)) {
      kinds.set(kind, new Map());
    }
    return kinds.get(kind);
  };

  const record = (kind, object, deleted) => {
    events.push({ kind, rev: revision, deleted, object });
    [...polls].forEach((wake) => wake());
  };

  const put = (kind, name, part) => {
    const known = getKind(kind).get(name);
    const next = { spec: known?.spec, status: known?.status, ...part };
    const isSame =
      known !== undefined &&
      JSON.stringify([known.spec, known.status]) === JSON.stringify([next.spec, next.status]);
    if (isSame) {
      return known;
    }
    revision += 1;
    const metadata = {
      name,
      rev: revision,
      'create-rev': known?.metadata['create-rev'] ?? revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, ...next };
    getKind(kind).set(name, object);
    record(kind, object, false);
    return object;
  };

  const remove = (kind, name) => {
    const object = getKind(kind).get(name);
    if (object !== undefined) {
      revision += 1;
      getKind(kind).delete(name);
      record(
        kind,
        { ...object, metadata: { ...object.metadata, rev: revision, deleting: true } },
        true,
      );
    }
  };

  const send = (outgoing, status, body) => {
    const bytes = Buffer.from(JSON.stringify(body));
    outgoing.writeHead(status, {
      'content-type': 'application/json',
      'content-length': bytes.length,
    });
    outgoing.end(bytes);
  };

  const watch = (outgoing, kind, from, wait) => {
    const respond = (isLast) => {
      const found = events.filter((event) => event.kind === kind && event.rev > from);
      if (polls.has(wake) && (found.length > 0 || isLast)) {
        polls.delete(wake);
        clearTimeout(timer);
        send(outgoing, 200, {
          events: found.map(({ deleted, object }) => ({ deleted, object })),
          'store-revision': revision,
        });
      }
    };
    const wake = () => respond(false);
    polls.add(wake);
    const timer = setTimeout(() => respond(true), Math.min(wait, 30_000));
    outgoing.on('close', () => {
      polls.delete(wake);
      clearTimeout(timer);
    });
    wake();
  };

  const write = (outgoing, method, [kind, name, part], query, text) => {
    const sent = text === '' ? {} : JSON.parse(text);
    const target = name ?? sent.metadata?.name;
    const known = getKind(kind).get(target);
    const rev = sent.metadata?.rev ?? (query.has('rev') ? Number(query.get('rev')) : undefined);
    if (
      method === 'POST'
        ? known !== undefined
        : known !== undefined && rev !== undefined && rev !== known.metadata.rev
    ) {
      send(outgoing, 409, known);
    } else if (method === 'DELETE') {
      remove(kind, target);
      send(outgoing, 200, {});
    } else if (method === 'PUT' && known === undefined) {
      send(outgoing, 404, {});
    } else {
      const field = part === 'status' ? 'status' : 'spec';
      send(outgoing, 200, put(kind, target, { [field]: sent[field] }));
    }
  };

  const server = createServer((incoming, outgoing) => {
    const url = new URL(incoming.url, 'http://store');
    const path = url.pathname.split('/').slice(3).map(decodeURIComponent);
    const query = url.searchParams;
    let text = '';
    incoming.on('data', (chunk) => {
      text += chunk;
    });
    incoming.on('end', () => {
      if (incoming.method !== 'GET') {
        write(outgoing, incoming.method, path, query, text);
      } else if (query.has('watch')) {
        watch(outgoing, path[0], Number(query.get('watch')), Number(query.get('wait-ms') ?? 0));
      } else if (path[1] !== undefined) {
        const object = getKind(path[0]).get(path[1]);
        send(outgoing, object === undefined ? 404 : 200, object ?? {});
      } else {
        const names = [...getKind(path[0]).keys()].sort();
        const rest = names.filter((name) => name > (query.get('after') ?? ''));
        send(outgoing, 200, {
          items: rest.slice(0, PAGE_SIZE).map((name) => getKind(path[0]).get(name)),
          'has-more': rest.length > PAGE_SIZE,
          'store-revision': revision,
        });
      }
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (kind, name, spec) => put(kind, name, { spec }),
    remove,
    list: (kind) => [...getKind(kind).values()],
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
