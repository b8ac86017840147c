import type { CapacityProbe } from '../CapacityProbe.js';
import { admissionProbe } from './AdmissionProbe.js';
import { choiceProbe } from './ChoiceProbe.js';
import { claimsProbe } from './ClaimsProbe.js';
import { configurationProbe } from './ConfigurationProbe.js';
import { leaseProbe } from './LeaseProbe.js';
import { loadViewProbe } from './LoadViewProbe.js';
import { metricsProbe } from './MetricsProbe.js';
import { membershipProbe } from './MembershipProbe.js';
import { relayProbe } from './RelayProbe.js';

/** All probes, in the order of the page. */
export const probes: CapacityProbe[] = [
  relayProbe,
  admissionProbe,
  choiceProbe,
  loadViewProbe,
  configurationProbe,
  membershipProbe,
  claimsProbe,
  leaseProbe,
  metricsProbe,
];
