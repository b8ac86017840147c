/** What shows whether the process of a replica still runs. */
export enum EndEvidence {
  /** The replica states its id. */
  Identified = 'identified',
  /** A connection to it that was open before is still open. */
  Connected = 'connected',
  /** It accepts connections, and does not answer in time or may not be asked. */
  Accepts = 'accepts',
  /** Another process has its address. */
  Replaced = 'replaced',
  /** Its port refuses connections, and no other connection to it is open. */
  Refused = 'refused',
  /** Nothing shows that it runs. */
  None = 'none',
}

/**
 * Whether a replica still runs.
 *
 * @example
 * ```ts
 * isRunning(EndEvidence.Identified); // true
 * ```
 */
export function isRunning(evidence: EndEvidence): boolean {
  switch (evidence) {
    case EndEvidence.Identified:
    case EndEvidence.Connected:
    case EndEvidence.Accepts:
      return true;
    case EndEvidence.Replaced:
    case EndEvidence.Refused:
    case EndEvidence.None:
      return false;
    default:
      return evidence satisfies never;
  }
}
