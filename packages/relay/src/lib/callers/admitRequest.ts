import type { Milliseconds } from '@apricotrill/utils';
import type { IncomingMessage } from 'node:http';
import type { ActiveConfiguration } from '../config/ActiveConfiguration.js';
import { RouteKind } from '../config/RelayConfiguration.js';
import type { RelayRoute, RelayWorkspace } from '../config/RelayConfiguration.js';
import type { RequestFields } from '../protocol/RelayProtocol.js';
import { callerOptions } from './callerOptions.js';

/** Whether a request is admitted, based on its head. */
export type RequestAdmission =
  | {
      kind: 'admitted';
      /** The configuration that admitted it; later versions do not apply to it. */
      active: ActiveConfiguration;
      route: RelayRoute;
      workspace: RelayWorkspace | undefined;
    }
  | {
      kind: 'rejected';
      status: number;
      reason: string;
      retryAfter?: Milliseconds;
      /** Whether the reason is that the configuration does not contain what the request names. */
      isUnknown?: boolean;
    };

const BAD_REQUEST = 400;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const HEAD_TOO_LARGE = 431;
const UNAVAILABLE = 503;
const VERSION_NOT_SUPPORTED = 505;

/** A colon and a line end; the space after the colon is optional. */
const BYTES_PER_FIELD = 3;

/** Returns the least size that the head had as received: spaces around values are not known. */
function getHeadBytes({ method, url, rawHeaders }: IncomingMessage): number {
  const line = (method ?? '').length + (url ?? '').length;
  const separators = (rawHeaders.length / 2) * BYTES_PER_FIELD;
  return rawHeaders.reduce((sum, item) => sum + item.length, line + separators);
}

/** Whether the caller reads chunks, without which the end of a stream does not prove that it is complete. */
function readsChunks({ httpVersionMajor, httpVersionMinor }: IncomingMessage): boolean {
  return httpVersionMajor > 1 || httpVersionMinor >= 1;
}

/**
 * Checks the head of a request against the configuration in force.
 *
 * @param active - undefined before the first configuration
 */
export function admitRequest(
  request: IncomingMessage,
  fields: RequestFields,
  active: ActiveConfiguration | undefined,
): RequestAdmission {
  if (active === undefined) {
    const retryAfter = callerOptions.startingRetryAfter;
    return { kind: 'rejected', status: UNAVAILABLE, reason: 'no configuration yet', retryAfter };
  }
  const { configuration, routes, keys } = active;
  const isCut = request.rawHeaders.length / 2 >= callerOptions.maxHeadFields;
  if (isCut || getHeadBytes(request) > configuration.limits.headerBytes) {
    return { kind: 'rejected', status: HEAD_TOO_LARGE, reason: 'head too large' };
  }
  const { host } = request.headers;
  if (host === undefined || !request.url?.startsWith('/')) {
    return { kind: 'rejected', status: BAD_REQUEST, reason: 'no host or no path' };
  }
  const route = routes.find(host, request.url);
  if (route === undefined) {
    return { kind: 'rejected', status: NOT_FOUND, reason: 'unknown route', isUnknown: true };
  }
  const workspace = keys?.find(fields.key);
  if (keys !== undefined && workspace === undefined && !route.isPublic) {
    return { kind: 'rejected', status: UNAUTHORIZED, reason: 'unknown key', isUnknown: true };
  }
  if (route.kind === RouteKind.Stream && !readsChunks(request)) {
    return { kind: 'rejected', status: VERSION_NOT_SUPPORTED, reason: 'streams require HTTP/1.1' };
  }
  return { kind: 'admitted', active, route, workspace };
}
