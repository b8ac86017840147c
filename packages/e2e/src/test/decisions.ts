import type { LineLog } from './LineLog.js';

/** A parsed line of the decision log. */
export interface Decision {
  step: string;
  request?: string;
  attempt?: number;
  replica?: string;
  [field: string]: unknown;
}

const DECISION_LINE = /apricotrill:(\w+) (\{.*\})/;

function parse(line: string): Decision | undefined {
  const match = DECISION_LINE.exec(line);
  return match === null
    ? undefined
    : { step: match[1]!, ...(JSON.parse(match[2]!) as Record<string, unknown>) };
}

/** Returns the decisions of one step that a daemon has logged so far. */
export function getDecisions(log: LineLog, step: string): Decision[] {
  return log.lines.map(parse).filter((decision): decision is Decision => decision?.step === step);
}

/** Waits for a matching decision of one step, past or future. */
export async function waitForDecision(
  log: LineLog,
  step: string,
  matches: (decision: Decision) => boolean = () => true,
): Promise<Decision> {
  const line = await log.waitFor((text) => {
    const decision = parse(text);
    return decision?.step === step && matches(decision);
  });
  return parse(line)!;
}
