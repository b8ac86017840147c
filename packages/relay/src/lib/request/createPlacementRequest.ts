import { RouteKind } from '../config/RelayConfiguration.js';
import type { PlacementRequest } from '../decide/messages.js';
import type { ReceivedRequest } from './ReceivedRequest.js';

/** Returns a request as the placement core sees it. */
export function createPlacementRequest(request: ReceivedRequest): PlacementRequest {
  const { route } = request;
  return {
    id: request.id,
    fingerprint: request.fingerprint,
    route: route.name,
    service: request.service,
    kind: route.kind,
    isRetryable:
      route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Stream && route.resumable),
    workspace: request.workspace?.name ?? '',
    rank: request.rank,
    maxAttempts: route.maxAttempts,
    latencyTarget: route.latencyTarget,
    pauseTarget: route.pauseTarget,
    deadline: request.deadline,
    arrivedAt: request.arrivedAt,
    prompt: request.fields.prompt,
    softwareVersion: request.softwareVersion,
  };
}
