/** The platform's store, as PROTOCOL.md has it, as far as an entry host uses it. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE = 500;

function readBody(incoming) {
  return new Promise((resolve) => {
    let text = '';
    incoming.setEncoding('utf8');
    incoming.on('data', (part) => {
      text += part;
    });
    incoming.on('end', () => resolve(text === '' ? {} : JSON.parse(text)));
    incoming.on('error', () => resolve({}));
  });
}

/** Creates a store that listens on a free port of `host`. */
export default async function createStore(host = '127.0.0.1') {
  const kinds = new Map();
  const events = [];
  const polls = new Set();
  let revision = 1;
  let isDown = false;
  let onStatus = () => undefined;

  function getKind(kind) {
    if (!kinds.has(kind)) {
      kinds.set(kind, new Map());
    }
    return kinds.get(kind);
  }

  function note(kind, object, deleted) {
    events.push({ kind, rev: revision, deleted, object });
    [...polls].forEach((poll) => poll());
  }

  /** Writes an object; `change` has `spec` or `status`. */
  function put(kind, name, change) {
    const before = getKind(kind).get(name);
    revision += 1;
    const object = {
      metadata: {
        name,
        rev: revision,
        'create-rev': before?.metadata['create-rev'] ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec: change.spec ?? before?.spec,
      status: 'status' in change ? change.status : (before?.status ?? null),
    };
    getKind(kind).set(name, object);
    note(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const before = getKind(kind).get(name);
    if (before !== undefined) {
      revision += 1;
      getKind(kind).delete(name);
      note(kind, { ...before, metadata: { ...before.metadata, rev: revision } }, true);
    }
  }

  function send(outgoing, status, body) {
    const text = JSON.stringify(body);
    outgoing.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    outgoing.end(text);
  }

  function watch(outgoing, kind, from, wait) {
    const find = () => events.filter((event) => event.kind === kind && event.rev > from);
    let timer;
    let poll;
    const finish = (found) => {
      clearTimeout(timer);
      polls.delete(poll);
      const changes = found.map(({ deleted, object }) => ({ deleted, object }));
      send(outgoing, 200, { events: changes, 'store-revision': revision });
    };
    poll = () => {
      const found = find();
      if (found.length > 0) {
        finish(found);
      }
    };
    outgoing.on('close', () => {
      clearTimeout(timer);
      polls.delete(poll);
    });
    polls.add(poll);
    timer = setTimeout(() => finish([]), wait);
    poll();
  }

  function list(outgoing, kind, after) {
    const names = [...getKind(kind).keys()].sort().filter((name) => name > after);
    const items = names.slice(0, PAGE).map((name) => getKind(kind).get(name));
    send(outgoing, 200, { items, 'has-more': names.length > PAGE, 'store-revision': revision });
  }

  function write(outgoing, { method, kind, name, part, rev, body }) {
    const target = name ?? body.metadata?.name;
    const current = getKind(kind).get(target);
    const wanted = rev ?? body.metadata?.rev;
    if (method === 'POST' && current !== undefined) {
      send(outgoing, 409, current);
    } else if (method !== 'POST' && current === undefined) {
      send(outgoing, 404, {});
    } else if (wanted !== undefined && current !== undefined && wanted !== current.metadata.rev) {
      send(outgoing, 409, current);
    } else if (method === 'DELETE') {
      remove(kind, target);
      send(outgoing, 200, current);
    } else if (part === 'status') {
      const object = put(kind, target, { status: body.status });
      send(outgoing, 200, object);
      onStatus(kind, target, body.status);
    } else {
      send(outgoing, 200, put(kind, target, { spec: body.spec }));
    }
  }

  const server = createServer(async (incoming, outgoing) => {
    const body = await readBody(incoming);
    if (isDown) {
      send(outgoing, 503, {});
      return;
    }
    const url = new URL(incoming.url, 'http://store');
    const [kind, name, part] = url.pathname.split('/').slice(3).map(decodeURIComponent);
    const query = url.searchParams;
    const { method } = incoming;
    if (method !== 'GET') {
      const rev = query.has('rev') ? Number(query.get('rev')) : undefined;
      write(outgoing, { method, kind, name, part, rev, body });
    } else if (query.has('watch')) {
      watch(outgoing, kind, Number(query.get('watch')), Number(query.get('wait-ms')));
    } else if (name !== undefined) {
      const object = getKind(kind).get(name);
      send(outgoing, object === undefined ? 404 : 200, object ?? {});
    } else {
      list(outgoing, kind, query.get('after') ?? '');
    }
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });

  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    names: (kind) => [...getKind(kind).keys()],
    isDown: () => isDown,
    /** While the store is down, it answers 503, and polls that wait are cut off. */
    setDown(next) {
      isDown = next;
      if (next) {
        polls.clear();
        server.closeAllConnections();
      }
    },
    /** Calls back with each status that is written. */
    watchStatus(listener) {
      onStatus = listener;
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
