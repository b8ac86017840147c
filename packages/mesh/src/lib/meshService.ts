import type { ServiceDefinition } from '@grpc/grpc-js';

const passThrough = (bytes: Buffer) => bytes;

/**
 * The single gRPC method between daemons. It is defined by hand for raw bytes: nothing is loaded or
 * generated at run time, and the mesh knows the size of what it sends and receives.
 *
 * @internal
 */
export const callMethod = {
  path: '/apricotrill.Mesh/Call',
  requestStream: false,
  responseStream: false,
  requestSerialize: passThrough,
  requestDeserialize: passThrough,
  responseSerialize: passThrough,
  responseDeserialize: passThrough,
} as const;

/** @internal */
export const meshService: ServiceDefinition = { call: callMethod };
