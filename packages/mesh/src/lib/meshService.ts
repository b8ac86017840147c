import type { ServiceDefinition } from '@grpc/grpc-js';

const keepBytes = (bytes: Buffer) => bytes;

/**
 * The one gRPC method between daemons. It is written by hand over raw bytes: nothing is loaded or
 * generated at run time, and the mesh sees the size of what it sends and gets.
 *
 * @internal
 */
export const callMethod = {
  path: '/apricotrill.Mesh/Call',
  requestStream: false,
  responseStream: false,
  requestSerialize: keepBytes,
  requestDeserialize: keepBytes,
  responseSerialize: keepBytes,
  responseDeserialize: keepBytes,
} as const;

/** @internal */
export const meshService: ServiceDefinition = { call: callMethod };
