import type { ResponseHead } from '../servers/types';

const EVENT_STREAM = /^text\/event-stream\b/i;
const HTTP_OK = 200;
const HTTP_MULTIPLE_CHOICES = 300;

/** Returns whether the response on a stream's route is an event stream; without a type it is. */
export default function isEventStream({ status, headers }: ResponseHead): boolean {
  const contentType = headers['content-type'];
  const isSuccess = status >= HTTP_OK && status < HTTP_MULTIPLE_CHOICES;
  return isSuccess && (typeof contentType !== 'string' || EVENT_STREAM.test(contentType));
}
