/** @file
 * Module model: the data types that daemons process and exchange.
 *
 * Submissions, tasks, answers, the operators' configuration, members, and the
 * messages between daemons, all as plain structs. Depends on base only.
 */
#ifndef DOGWOODFALL_MODULES_MODEL_MODEL_H_
#define DOGWOODFALL_MODULES_MODEL_MODEL_H_

#include "model/answer.h"
#include "model/configuration.h"
#include "model/daemon_member.h"
#include "model/daemon_ref.h"
#include "model/endpoint_member.h"
#include "model/heartbeat.h"
#include "model/instance_list.h"
#include "model/peer_frame.h"
#include "model/peer_message.h"
#include "model/submission.h"
#include "model/task_assignment.h"
#include "model/task_outcome.h"
#include "model/task_report.h"
#include "model/task_spec.h"
#include "model/waste.h"

#endif  // DOGWOODFALL_MODULES_MODEL_MODEL_H_
