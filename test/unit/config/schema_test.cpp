/** @file schema_test.cpp The schema stays compatible with all released fields. */

#include "support/test_section.h"
#include "wisteriahoist/v1/operator.pb.h"

#include <fstream>
#include <google/protobuf/descriptor.h>
#include <set>

using namespace wisteriahoist;

namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::FileDescriptor;

std::string typeOf(const FieldDescriptor &field)
{
    std::string type = field.is_repeated() ? "repeated " : field.has_presence() ? "one " : "";
    type += field.type_name();
    if (field.message_type() != nullptr) {
        type += " " + field.message_type()->name();
    }
    return field.enum_type() != nullptr ? type + " " + field.enum_type()->name() : type;
}

void describe(const FileDescriptor &file, std::set<std::string> &lines)
{
    for (int index = 0; index < file.message_type_count(); ++index) {
        const Descriptor &message = *file.message_type(index);
        for (int field = 0; field < message.field_count(); ++field) {
            const FieldDescriptor &entry = *message.field(field);
            lines.insert(message.name() + "." + entry.name() + " = "
                         + std::to_string(entry.number()) + " " + typeOf(entry));
        }
    }
    for (int index = 0; index < file.enum_type_count(); ++index) {
        const EnumDescriptor &type = *file.enum_type(index);
        for (int value = 0; value < type.value_count(); ++value) {
            lines.insert(type.name() + "." + type.value(value)->name() + " = "
                         + std::to_string(type.value(value)->number()));
        }
    }
    for (int index = 0; index < file.service_count(); ++index) {
        const auto &service = *file.service(index);
        for (int method = 0; method < service.method_count(); ++method) {
            const auto &entry = *service.method(method);
            lines.insert(service.name() + "." + entry.name() + "(" + entry.input_type()->name()
                         + ") " + entry.output_type()->name());
        }
    }
}

} // namespace

// Tools with an older schema call newer nodes. If the number of a field were reused or its type
// changed, the node would misread a value and accept a rule that was never declared. So each line
// of the released schema must be in the current one; new lines may be added to the file.
Test(config_schema, released_fields_are_kept)
{
    std::set<std::string> current;
    describe(*v1::ApplyRequest::descriptor()->file(), current);
    describe(*v1::Member::descriptor()->file(), current);
    std::ifstream released(WH_SOURCE_DIR "/test/data/schema/released.txt");
    std::string line;
    size_t count = 0;
    while (std::getline(released, line)) {
        ++count;
        cr_assert(current.contains(line), "no longer in the schema: %s", line.c_str());
    }
    cr_assert(count > 100, "only %zu lines were read", count);
}
