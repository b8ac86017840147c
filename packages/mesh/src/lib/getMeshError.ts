import type { ServiceError } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';
import { MeshError, MeshFailure } from './MeshError.js';

const FAILURE_BY_STATUS: ReadonlyMap<status, MeshFailure> = new Map([
  [status.UNAVAILABLE, MeshFailure.Unreachable],
  [status.UNIMPLEMENTED, MeshFailure.Refused],
  [status.INVALID_ARGUMENT, MeshFailure.Refused],
  [status.UNKNOWN, MeshFailure.HandlerFailed],
]);

/**
 * Converts a gRPC error. Any other status counts as unreachable: the peer may or may not have
 * handled the message.
 *
 * @internal
 */
export function getMeshError(error: ServiceError, topic: string, peer: string): MeshError {
  const failure = FAILURE_BY_STATUS.get(error.code) ?? MeshFailure.Unreachable;
  return new MeshError(failure, error.details, { step: `mesh-call ${topic}`, peer, cause: error });
}
