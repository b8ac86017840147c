import type { Milliseconds } from '@apricotrill/utils';
import type { Prompt } from '../decide/messages.js';
import type { RelayEvent } from '../observe/RelayEvent.js';
import type { ReceivedRequest } from './ReceivedRequest.js';

/** Limit on parts of a prompt in one log line. */
const MAX_LOGGED_PARTS = 8;

function getLoggedParts(prompt: Prompt | undefined): string[] | undefined {
  return prompt?.parts.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id);
}

/** Creates the event that records which route and workspace a request was assigned. */
export function createAdmittedEvent(request: ReceivedRequest, now: Milliseconds): RelayEvent {
  const { id, fingerprint, route, service, workspace, rank, version, fields } = request;
  return {
    event: 'admitted',
    id,
    fingerprint,
    route: route.name,
    service,
    workspace: workspace?.name ?? '',
    routePriority: route.priority,
    workspacePriority: workspace?.priority,
    promptTokens: fields.prompt?.inputTokens,
    promptParts: getLoggedParts(fields.prompt),
    rank,
    timeLeft: request.deadline - now,
    resumeAfter: fields.resumeAfter,
    resumes: fields.resumes,
    version,
  };
}
