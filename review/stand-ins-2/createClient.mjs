/** Callers: each sends requests of its own over connections that it keeps, and never repeats one. */
import { Buffer } from 'node:buffer';
import { Agent, request } from 'node:http';
import { performance } from 'node:perf_hooks';

let count = 0;

/** Creates a caller of one host; `record` gets what was sent and answered. */
export default function createClient({ host, routeHost, record }) {
  const agent = new Agent({ keepAlive: true, maxSockets: 256, maxFreeSockets: 256 });

  return {
    send({ path, method = 'GET', headers = {}, deadline = 3_000, body }) {
      count += 1;
      const id = `c${String(count).padStart(7, '0')}`;
      const sentAt = performance.now();
      record('sent', { id, host: host.name, method, path });
      return new Promise((resolve) => {
        let isEnded = false;
        const end = (outcome) => {
          if (!isEnded) {
            isEnded = true;
            const took = Math.round(performance.now() - sentAt);
            record('answered', { id, ...outcome, took });
            resolve({ id, ...outcome, took });
          }
        };
        const call = request(
          {
            agent,
            host: host.ip,
            port: host.front,
            method,
            path,
            headers: {
              host: routeHost,
              'x-rattanreel-request-id': id,
              'x-rattanreel-deadline-ms': String(deadline),
              ...headers,
              ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }),
            },
          },
          (answer) => {
            let bytes = 0;
            answer.on('data', (part) => {
              bytes += part.length;
            });
            answer.on('end', () =>
              end({
                status: answer.statusCode,
                seal: answer.headers['x-rattanreel-response-seal'],
                bytes,
              }),
            );
            answer.on('error', () => end({ status: 0, cut: true }));
          },
        );
        call.setTimeout(deadline + 1_000, () => call.destroy());
        call.on('error', (error) => end({ status: 0, error: error.code }));
        call.end(body);
      });
    },
    close: () => agent.destroy(),
  };
}
