import type { AdmissionGroupSettings } from '../lib/decide/admission/AdmissionControl/AdmissionControl.js';
import type { AdmissionGroup, AdmissionLoad } from '../lib/decide/admission/AdmissionGroup.js';
import type { AdmissionDecision, Applicant } from '../lib/decide/admission/Applicant.js';

/** The wait that is promised to each applicant. */
export const EXPECTED_WAIT = 120;

/** A group in which all applicants wait until a test decides. */
export class WaitingGroup implements AdmissionGroup {
  readonly applicants = new Map<string, Applicant>();

  submitted = 0;

  constructor(private readonly settings: AdmissionGroupSettings) {}

  get size(): number {
    return this.applicants.size;
  }

  submit(applicant: Applicant): void {
    this.submitted += 1;
    this.applicants.set(applicant.id, applicant);
    this.settings.onDecision({ kind: 'wait', applicant, expectedWait: EXPECTED_WAIT });
  }

  withdraw(id: string): void {
    this.applicants.delete(id);
  }

  review(): void {
    expect(this.size).toBeGreaterThanOrEqual(0);
  }

  dissolve(): Applicant[] {
    const applicants = [...this.applicants.values()];
    this.applicants.clear();
    return applicants;
  }

  getLoad(): AdmissionLoad {
    return { expectedWait: this.size * EXPECTED_WAIT, room: 0 };
  }

  decide(create: (applicant: Applicant) => AdmissionDecision): void {
    const [applicant] = this.applicants.values();
    this.applicants.delete(applicant!.id);
    this.settings.onDecision(create(applicant!));
  }
}
