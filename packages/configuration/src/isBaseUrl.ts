import { isIP } from 'node:net';

/**
 * Returns whether a text is an http or https URL of an IP address, without path, query or
 * credentials.
 */
export default function isBaseUrl(text: string): boolean {
  if (!URL.canParse(text)) {
    return false;
  }
  const url = new URL(text);
  const host = url.hostname.replace(/^\[|\]$/g, '');
  const isOriginOnly =
    url.pathname === '/' && url.search === '' && url.hash === '' && url.username === '';
  return isOriginOnly && /^https?:$/.test(url.protocol) && isIP(host) !== 0;
}
