import type { ServiceError } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';
import { MeshError, MeshFailure } from './MeshError.js';

const FAILURES: ReadonlyMap<status, MeshFailure> = new Map([
  [status.UNAVAILABLE, MeshFailure.Unreachable],
  [status.UNIMPLEMENTED, MeshFailure.Refused],
  [status.INVALID_ARGUMENT, MeshFailure.Refused],
  [status.UNKNOWN, MeshFailure.HandlerFailed],
]);

/**
 * A gRPC error as the caller sees it. A status that no rule knows counts as unreachable: the peer
 * may or may not have handled the message.
 *
 * @internal
 */
export function getMeshError(error: ServiceError, topic: string, peer: string): MeshError {
  const failure = FAILURES.get(error.code) ?? MeshFailure.Unreachable;
  return new MeshError(failure, error.details, { step: `mesh-call ${topic}`, peer, cause: error });
}
