import type { Socket } from 'node:net';

/**
 * Stops reading from a connection until the returned function is called. Node.js resumes a connection
 * for each body that is read.
 */
export default function holdReading(socket: Socket): () => void {
  socket.pause();
  Object.assign(socket, { resume: () => socket });
  return () => {
    Reflect.deleteProperty(socket, 'resume');
    socket.resume();
  };
}
