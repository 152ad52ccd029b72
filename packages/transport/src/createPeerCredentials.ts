import { credentials, experimental, ServerCredentials } from '@grpc/grpc-js';
import type { PeerCredentials, PeerSecurity } from './types';

const KEY_FILE_REFRESH_MS = 5_000;

/** Creates credentials for mutual TLS, reloaded when the key files change, or for plain text. */
export default function createPeerCredentials(security: PeerSecurity): PeerCredentials {
  switch (security.kind) {
    case 'plainLoopback':
    case 'plainTrustedNetwork':
      return {
        client: credentials.createInsecure(),
        server: ServerCredentials.createInsecure(),
      };
    case 'mutualTls': {
      const provider = new experimental.FileWatcherCertificateProvider({
        certificateFile: security.certificateFile,
        privateKeyFile: security.privateKeyFile,
        caCertificateFile: security.authorityFile,
        refreshIntervalMs: KEY_FILE_REFRESH_MS,
      });
      return {
        client: experimental.createCertificateProviderChannelCredentials(provider, provider),
        server: experimental.createCertificateProviderServerCredentials(provider, provider, true),
      };
    }
    default:
      return security satisfies never;
  }
}
