#ifndef DOGWOODFALL_MODULES_MODEL_JOB_IN_PROGRESS_H_
#define DOGWOODFALL_MODULES_MODEL_JOB_IN_PROGRESS_H_

#include "base/ids.h"
#include "model/endpoint_group.h"

namespace dogwoodfall {

/** A job that a scheduler holds, and the group that it runs in. */
struct JobInProgress {
  SubmissionId job;
  EndpointGroup group;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_MODEL_JOB_IN_PROGRESS_H_
