import { connect } from 'node:http2';
import type { ClientHttp2Session } from 'node:http2';
import type { MessageCrowd } from './types';

const PREFIX_BYTES = 5;
const BLOCK_BYTES = 65_536;

/** Returns the prefix of a gRPC message that is not compressed. */
function createPrefix(bytes: number): Buffer {
  const prefix = Buffer.alloc(PREFIX_BYTES);
  prefix.writeUInt32BE(bytes, 1);
  return prefix;
}

/** Opens the sessions of a crowd; `onProgress` is called for what their streams send. */
export default function openMessageCrowd(crowd: MessageCrowd, onProgress: () => void): void {
  const { announcedBytes, sentBytes, path } = crowd;
  const block = Buffer.alloc(BLOCK_BYTES, 'x');

  function sendPart(session: ClientHttp2Session): void {
    const stream = session.request({
      ':method': 'POST',
      ':path': path,
      'content-type': 'application/grpc',
      te: 'trailers',
    });
    stream.on('error', () => undefined);
    stream.resume();
    let left = sentBytes;
    function write(): void {
      while (left > 0 && !stream.destroyed) {
        const next = block.subarray(0, Math.min(left, BLOCK_BYTES));
        left -= next.length;
        onProgress();
        if (!stream.write(next)) {
          stream.once('drain', write);
          return;
        }
      }
    }
    stream.write(createPrefix(announcedBytes));
    write();
  }

  for (let index = 0; index < crowd.connections; index += 1) {
    const session = connect(`http://127.0.0.1:${crowd.port}`);
    session.on('error', () => undefined);
    session.once('connect', () => {
      for (let number = 0; number < crowd.streams; number += 1) {
        sendPart(session);
      }
    });
  }
}
